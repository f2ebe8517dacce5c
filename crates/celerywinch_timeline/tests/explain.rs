//! The history of one job from structured logs.

use celerywinch_timeline::{explain, parse_log};

const LOGS: &str = r#"
{"at":10,"instance":167903246,"life":1,"part":"origin","event":"submitted","job":77,"queue":"q","tasks":2}
  12.5 entry-2 {"at":14,"instance":167903247,"life":1,"part":"dispatch","event":"started","task":{"job":77,"step":0,"index":1},"run":5,"worker":"w1","expected":60}
{"at":12,"instance":167903246,"life":1,"part":"origin","event":"handed_in","job":77,"free":3}
{"at":20,"instance":167903247,"life":1,"part":"dispatch","event":"worker_silent","worker":"w1","looks":2}
{"at":20,"instance":167903247,"life":1,"part":"dispatch","event":"worker_silent","worker":"w9","looks":2}
{"at":22,"instance":167903250,"life":1,"part":"member","event":"peer_lost","peer":1,"silent":400}
{"at":30,"instance":167903246,"life":1,"part":"origin","event":"answered","job":77,"end":"Unsure","took":20}
{"at":31,"instance":167903246,"life":1,"part":"origin","event":"answered","job":78,"end":"Unsure","took":20}
no line at all
"#;

/// An engineer investigates why a caller got no answer: the result has the lines about the job from all its processes,
/// and their events about its worker in that time, in order of time. It has nothing about other jobs, workers or
/// processes.
#[test]
fn explanation_has_only_lines_that_concern_the_job() {
    let lines = parse_log(LOGS);
    assert_eq!(lines.len(), 8);
    let related = explain(77, &lines);
    let events: Vec<_> = related
        .iter()
        .map(|line| (line.at_ms, line.event.as_str()))
        .collect();
    let wanted = [
        (10, "submitted"),
        (12, "handed_in"),
        (14, "started"),
        (20, "worker_silent"),
        (30, "answered"),
    ];
    assert_eq!(events, wanted);
    let text = related[1].text(77);
    assert!(
        text.contains("free=3") && text.contains("10.2.0.14"),
        "{text}"
    );
}

#[test]
fn job_without_lines_has_no_explanation() {
    assert!(explain(5, &parse_log(LOGS)).is_empty());
}
