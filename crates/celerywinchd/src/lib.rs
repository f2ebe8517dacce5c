//! The daemon: runs one instance of the system, configured by a settings file.

use std::path::Path;

use anyhow::Context;
use celerywinch_node::{Node, NodeOptions};
use celerywinch_platform::Overrides;
use celerywinch_settings::{Settings, load_settings};
pub use celerywinch_types::ExitStatus;
use getopts::{Matches, Options};
use log::LevelFilter;
use ntex::rt::{DefaultRuntime, System, SystemRunner};
use simplelog::{ConfigBuilder, SimpleLogger};
use tokio::signal::unix::{SignalKind, signal};

/// Runs the daemon until it receives SIGTERM or SIGINT.
#[must_use]
pub fn run(arguments: &[String]) -> ExitStatus {
    let options = command_options();
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => return usage_error(&options, &error.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", help(&options));
        return ExitStatus::Success;
    }
    if let Err(error) = init_logging(&matches) {
        return usage_error(&options, &error.to_string());
    }
    if matches.opt_present("platform") {
        return match parse_overrides(&matches) {
            Ok(overrides) => run_on_platform(overrides),
            Err(error) => usage_error(&options, &format!("{error:#}")),
        };
    }
    let Some(file) = matches.opt_str("settings") else {
        return usage_error(&options, "`--settings FILE` is missing");
    };
    let settings = match load_settings(Path::new(&file)) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::Usage;
        }
    };
    exit_status(start_system().block_on(serve(settings)))
}

/// Runs on the users' platform, which passes the path of the settings file in an environment variable.
fn run_on_platform(overrides: Overrides) -> ExitStatus {
    let path = celerywinch_platform::settings_path();
    let run = async move { celerywinch_platform::run(&path, overrides).await };
    exit_status(start_system().block_on(run))
}

fn parse_overrides(matches: &Matches) -> anyhow::Result<Overrides> {
    let names = matches.opt_str("without").unwrap_or_default();
    let offset = matches.opt_str("clock-offset");
    let offset = offset.map(|text| text.parse()).transpose();
    Ok(Overrides {
        disabled: names.parse().context("`--without`")?,
        clock_offset: offset
            .context("`--clock-offset`: wanted whole ms, such as -30000")?
            .unwrap_or(0),
    })
}

fn start_system() -> SystemRunner {
    System::build().name("celerywinchd").build(DefaultRuntime)
}

fn exit_status(result: anyhow::Result<()>) -> ExitStatus {
    match result {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            log::error!("daemon: {error:#}.");
            ExitStatus::Failure
        }
    }
}

fn command_options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "path of the settings file", "FILE");
    options.optopt(
        "l",
        "log",
        "error, warn, info, debug or trace; default: info",
        "LEVEL",
    );
    options.optflag(
        "p",
        "platform",
        "run on the users' platform, with its settings file",
    );
    options.optopt(
        "",
        "without",
        "with --platform: disable dispatching mechanisms, to measure their effect",
        "NAMES",
    );
    options.optopt(
        "",
        "clock-offset",
        "with --platform, on loopback addresses: offset of the wall clock, for tests",
        "MS",
    );
    options.optflag("h", "help", "show this text");
    options
}

fn help(options: &Options) -> String {
    options.usage(
        "Usage: celerywinchd --settings FILE\n       celerywinchd --platform\n\n\
         Runs one instance. On SIGTERM, it completes requests in flight before it stops.\n\
         Exit codes: 0 graceful stop, 1 runtime error, 2 invalid arguments or settings.",
    )
}

fn usage_error(options: &Options, problem: &str) -> ExitStatus {
    eprintln!("celerywinchd: {problem}\n\n{}", help(options));
    ExitStatus::Usage
}

fn init_logging(matches: &Matches) -> anyhow::Result<()> {
    let level = matches.opt_str("log").unwrap_or_else(|| "info".into());
    let level: LevelFilter = level
        .parse()
        .with_context(|| format!("`--log`: found {level:?}, wanted a level such as info"))?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("celerywinch")
        .build();
    SimpleLogger::init(level, config).context("cannot initialise logging")
}

async fn serve(settings: Settings) -> anyhow::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("cannot install signal handlers")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context("cannot install signal handlers")?;
    let node = Node::start(settings, NodeOptions::default()).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("daemon: Received a stop signal, stopping.");
    node.stop().await
}
