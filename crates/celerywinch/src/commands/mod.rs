//! The commands, one module each, and the table that lists them.

mod bench;
mod catalogue;
mod check;
mod explain;
mod operator;
mod report;
mod soak;
mod status;
mod timeline;
mod try_it;

use crate::ExitStatus;

/// A subcommand.
#[derive(Clone, Copy)]
pub struct Command {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description for the help text.
    pub summary: &'static str,
    run: fn(&[String]) -> anyhow::Result<ExitStatus>,
}

/// All subcommands, in the order of the help text.
pub const COMMANDS: &[Command] = &[
    try_it::COMMAND,
    check::COMMAND,
    status::COMMAND,
    catalogue::COMMAND,
    timeline::COMMAND,
    explain::COMMAND,
    soak::COMMAND,
    bench::COMMAND,
    report::COMMAND,
];

/// Runs the subcommand that the first argument names.
#[must_use]
pub fn run(arguments: &[String]) -> ExitStatus {
    let Some((name, rest)) = arguments.split_first() else {
        eprintln!("{}", help());
        return ExitStatus::Usage;
    };
    if ["help", "--help", "-h"].contains(&name.as_str()) {
        println!("{}", help());
        return ExitStatus::Success;
    }
    let Some(command) = COMMANDS.iter().find(|command| command.name == name) else {
        eprintln!("celerywinch: unknown command {name:?}\n\n{}", help());
        return ExitStatus::Usage;
    };
    match (command.run)(rest) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("celerywinch {name}: {error:#}");
            ExitStatus::Usage
        }
    }
}

fn help() -> String {
    let mut text = String::from("Usage: celerywinch COMMAND [OPTIONS]\n\nCommands:\n");
    for command in COMMANDS {
        text.push_str(&format!("  {:<10} {}\n", command.name, command.summary));
    }
    text.push_str("\nSee `celerywinch COMMAND --help` for the options of a command.\n");
    text.push_str("Exit codes: 0 success, 1 a check failed, 2 usage error.");
    text
}

/// Parses arguments; returns `None` after printing the help text if `--help` was given.
fn parse(
    options: &mut getopts::Options,
    usage: &str,
    arguments: &[String],
) -> anyhow::Result<Option<getopts::Matches>> {
    options.optflag("h", "help", "show this text");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        println!("{}", options.usage(usage));
        return Ok(None);
    }
    Ok(Some(matches))
}

/// Returns the value of a numeric option, if given.
fn parse_number(matches: &getopts::Matches, name: &str) -> anyhow::Result<Option<u64>> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => anyhow::bail!("`--{name}`: found {text:?}, wanted a whole number"),
    }
}
