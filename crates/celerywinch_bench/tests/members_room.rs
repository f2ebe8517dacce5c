//! Simulated deployments whose tasks need about half of a worker, so that capacity may be free at some dispatchers while
//! tasks wait at others; and such deployments with uneven workers, run times and data centres.

use std::collections::HashMap;
use std::sync::{Arc, LazyLock, Mutex, OnceLock};
use std::thread::spawn;

use celerywinch_bench::members::{
    ClassStats, LoadPlan, MembersOptions, Violation, WorkerKinds, half_worker_load, run,
    uneven_load, uneven_workers,
};
use rstest::rstest;

/// Time at which members and workers are ready, in ms.
const READY_MS: u64 = 1_500;
/// Duration of the usual load before the jobs that are counted, in ms. Run times are learned in it.
const WARM_UP_MS: u64 = 1_000;
/// Duration of the burst, whose jobs are counted, in ms: as short as those of the users.
const COUNTED_MS: u64 = 3_000;

/// Deployment of 350 workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Site {
    /// Tasks of half a worker, in four data centres.
    HalfWorker,
    /// The same with uneven workers, run times and data centres.
    Uneven,
}

/// Run of a site at a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Case {
    site: Site,
    /// Number of dispatchers: 1, 16 or 64.
    dispatchers: u32,
    /// Factor of the counted load to the usual load, in percent.
    percent: u32,
}

type Outcome = Arc<OnceLock<Vec<ClassStats>>>;

/// Outcomes of the runs that several tests look at.
static OUTCOMES: LazyLock<Mutex<HashMap<Case, Outcome>>> = LazyLock::new(Mutex::default);

impl Case {
    /// Returns the statistics of the classes; the run is played once.
    fn play(self) -> Vec<ClassStats> {
        let outcome = {
            let mut outcomes = OUTCOMES.lock().expect("no run panics under the lock");
            outcomes.entry(self).or_default().clone()
        };
        outcome.get_or_init(|| self.simulate(1)).clone()
    }

    fn simulate(self, seed: u64) -> Vec<ClassStats> {
        let (dcs, load, kinds) = match self.site {
            Site::HalfWorker => (4, half_worker_load(), WorkerKinds::default()),
            Site::Uneven => (3, uneven_load(), uneven_workers()),
        };
        let count_ms = READY_MS + WARM_UP_MS;
        let load_ms = count_ms + COUNTED_MS;
        let factor = f64::from(self.percent) / 100.0;
        let report = run(MembersOptions {
            seed,
            dcs,
            entries: 28,
            workers: 350,
            kinds,
            shard_size: match self.dispatchers {
                1 => 1_000,
                16 => 32,
                _ => 8,
            },
            load_ms,
            early_end: true,
            load: LoadPlan {
                burst: Some((count_ms, load_ms, factor)),
                ..load
            },
            count_ms,
            ..MembersOptions::default()
        });
        assert_eq!(report.violations, Vec::<Violation>::new());
        report.classes
    }
}

/// Plays runs at once.
fn play_all<const N: usize>(cases: [Case; N]) -> [Vec<ClassStats>; N] {
    let threads = cases.map(|case| spawn(move || case.play()));
    threads.map(|thread| thread.join().expect("the simulation does not panic"))
}

fn share(part: usize, of: usize) -> f64 {
    part as f64 / of.max(1) as f64
}

fn in_aim(class: &ClassStats) -> f64 {
    share(class.on_time, class.submitted)
}

/// Returns the sum of the run times of jobs completed within their objectives, in ms.
fn timely_work(classes: &[ClassStats]) -> f64 {
    classes.iter().map(|class| class.timely_work).sum()
}

/// Answers the load of a quiet day: with capacity to spare, all jobs meet their objectives, however many dispatchers
/// there are.
#[rstest]
#[case::half_worker_1(Site::HalfWorker, 1)]
#[case::half_worker_16(Site::HalfWorker, 16)]
fn quiet_load_meets_all_objectives(#[case] site: Site, #[case] dispatchers: u32) {
    let percent = 100;
    let case = Case {
        site,
        dispatchers,
        percent,
    };
    for class in case.play() {
        assert_eq!(class.on_time, class.submitted, "{class:?}");
    }
}

/// Answers a burst in which some holes are too small for tasks of half a worker: with 16 dispatchers each class misses its
/// objectives at most 0.02 more often than with one, which sees all holes.
#[rstest]
#[case::half_worker(Site::HalfWorker)]
#[case::uneven(Site::Uneven)]
fn division_keeps_objectives_in_a_burst(#[case] site: Site) {
    let case = |dispatchers| Case {
        site,
        dispatchers,
        percent: 150,
    };
    let [one, divided] = play_all([case(1), case(16)]);
    for (one, divided) in one.iter().zip(&divided) {
        let (one, divided) = (in_aim(one), in_aim(divided));
        assert!(divided >= one - 0.02, "{divided} in aim, {one} undivided");
    }
}

/// Answers an overload that goes on for seconds: the work that is done in time does not fall below that in a burst which
/// nearly fits, as what cannot end in time is refused instead of taking capacity.
#[rstest]
#[case::half_worker_1(Site::HalfWorker, 1)]
#[case::half_worker_16(Site::HalfWorker, 16)]
#[case::uneven_16(Site::Uneven, 16)]
fn overload_keeps_timely_work(#[case] site: Site, #[case] dispatchers: u32) {
    let case = |percent| Case {
        site,
        dispatchers,
        percent,
    };
    let outcomes = play_all([case(140), case(170), case(250)]);
    let [fitting, over, far_over] = outcomes.map(|classes| timely_work(&classes));
    assert!(over >= fitting, "1.7: {over} ms in aim, 1.4: {fitting} ms");
    assert!(
        far_over >= fitting,
        "2.5: {far_over} ms in aim, 1.4: {fitting} ms"
    );
}

/// Answers a burst in which the jobs with the most work find room last: the largest tenth of each class is served at least
/// 0.8 as often as its class.
#[rstest]
fn large_jobs_are_served(#[values(1, 16)] dispatchers: u32, #[values(150, 170)] percent: u32) {
    let case = Case {
        site: Site::HalfWorker,
        dispatchers,
        percent,
    };
    for class in case.play() {
        let large = share(class.large_timely, class.large_jobs);
        assert!(
            large >= 0.8 * in_aim(&class),
            "{large} of the largest tenth in aim: {class:?}"
        );
    }
}

/// Prints what each class gets, for the seed in `SEED`.
#[rstest]
#[ignore = "prints a table: run by hand with `--ignored --nocapture`"]
fn table(
    #[values(Site::HalfWorker, Site::Uneven)] site: Site,
    #[values(1, 16, 64)] dispatchers: u32,
) {
    let seed = std::env::var("SEED").map_or(1, |seed| seed.parse().expect("a number"));
    for percent in [100, 130, 140, 150, 170, 250] {
        let case = Case {
            site,
            dispatchers,
            percent,
        };
        let classes = case.simulate(seed);
        let work = timely_work(&classes) / 1e3;
        let texts = classes.iter().map(|class| {
            format!(
                "| {:.3} | {}, {}, {} ms, {} | {:.2} ",
                in_aim(class),
                class.refused,
                class.prompt_refusals,
                class.refusal_p95_ms,
                class.lost,
                share(class.large_timely, class.large_jobs)
            )
        });
        let texts: String = texts.collect();
        println!("{site:?} | {dispatchers} | {percent} {texts}| {work:.0}");
    }
}
