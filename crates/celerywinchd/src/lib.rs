//! The daemon: one instance of the system, from a settings file.

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

/// Runs the daemon until it is told to stop (SIGTERM or SIGINT).
#[must_use]
pub fn run(arguments: &[String]) -> ExitStatus {
    let options = options();
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => return usage(&options, &error.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", help(&options));
        return ExitStatus::Success;
    }
    if let Err(error) = start_logs(&matches) {
        return usage(&options, &error.to_string());
    }
    if matches.opt_present("platform") {
        return match overrides(&matches) {
            Ok(overrides) => on_platform(overrides),
            Err(error) => usage(&options, &format!("{error:#}")),
        };
    }
    let Some(file) = matches.opt_str("settings") else {
        return usage(&options, "`--settings FILE` is missing");
    };
    let settings = match load_settings(Path::new(&file)) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::Usage;
        }
    };
    finish(start_system().block_on(serve(settings)))
}

/// Runs on the users' platform, which names the settings file by a variable.
fn on_platform(overrides: Overrides) -> ExitStatus {
    let path = celerywinch_platform::settings_path();
    let run = async move { celerywinch_platform::run(&path, overrides).await };
    finish(start_system().block_on(run))
}

fn overrides(matches: &Matches) -> anyhow::Result<Overrides> {
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

fn finish(result: anyhow::Result<()>) -> ExitStatus {
    match result {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            log::error!("daemon: {error:#}.");
            ExitStatus::Failure
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "the settings file", "FILE");
    options.optopt(
        "l",
        "log",
        "error, warn, info, debug or trace; info without it",
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
        "with --platform: leave mechanisms of dispatching out, to measure their worth",
        "NAMES",
    );
    options.optopt(
        "",
        "clock-offset",
        "with --platform, on loopback addresses: shift the time of day, for tests",
        "MS",
    );
    options.optflag("h", "help", "show this text");
    options
}

fn help(options: &Options) -> String {
    options.usage(
        "Usage: celerywinchd --settings FILE\n       celerywinchd --platform\n\n\
         Runs one instance. SIGTERM stops it without cutting off a request in flight.\n\
         Exit codes: 0 planned stop, 1 fault, 2 wrong arguments or settings.",
    )
}

fn usage(options: &Options, problem: &str) -> ExitStatus {
    eprintln!("celerywinchd: {problem}\n\n{}", help(options));
    ExitStatus::Usage
}

fn start_logs(matches: &Matches) -> anyhow::Result<()> {
    let level = matches.opt_str("log").unwrap_or_else(|| "info".into());
    let level: LevelFilter = level
        .parse()
        .with_context(|| format!("`--log`: found {level:?}, wanted a level such as info"))?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("celerywinch")
        .build();
    SimpleLogger::init(level, config).context("logs cannot be set up")
}

async fn serve(settings: Settings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("signals cannot be set up")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("signals cannot be set up")?;
    let node = Node::start(settings, NodeOptions::default()).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("daemon: Stopping.");
    node.stop().await
}
