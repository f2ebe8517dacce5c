//! Entry point of the daemon.

fn main() -> std::process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    celerywinchd::run(&arguments).into()
}
