//! Tests that the stated means, from which the arrival rate is computed, match the load that is drawn.

use super::*;

#[test]
fn drawn_load_has_the_stated_means() {
    let arrivals = draw_arrivals(LoadPlan {
        seed: 7,
        duration: Duration::from_secs(400),
        dcs: &[("a", 3), ("b", 2)],
        slots: 400,
        load: |_| 1.0,
    });
    let tasks: usize = arrivals.iter().map(|a| a.run_ms.len()).sum();
    let run: f64 = arrivals.iter().flat_map(|a| &a.run_ms).sum();
    let mean_tasks = tasks as f64 / arrivals.len() as f64;
    let mean_ms = run / tasks as f64;
    assert!((mean_tasks / MEAN_TASKS - 1.0).abs() < 0.05, "{mean_tasks}");
    assert!((mean_ms / MEAN_MS - 1.0).abs() < 0.05, "{mean_ms}");
}
