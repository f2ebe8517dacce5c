//! Entry point of the command line.

fn main() -> std::process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    celerywinch::run(&arguments).into()
}
