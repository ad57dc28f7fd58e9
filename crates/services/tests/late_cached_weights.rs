//! A registration that was sent before a load, and arrives seconds later, does not bring back the
//! cached weights that the load evicted: a load that takes them for cached starts without a token
//! of the weight store's rate limit.

mod placement_simulation;

use placement_simulation::*;

const SEEDS: u64 = 8;
/// Models that fit on the disk of an instance.
const DISK_SLOTS: usize = 3;
/// Models that requests wait for in turn; more than fit on one disk.
const ROTATED_MODELS: u32 = 5;
/// Number of models that requests wait for, one after the other.
const TURNS: u32 = 40;
/// Steps of 10 ms for which requests wait for one model.
const STEPS_PER_TURN: u32 = 230;
/// Models in turn between two changes of the leader.
const TURNS_PER_LEADER: u32 = 4;
/// Loads that have to be made for the models in turn, whatever is late.
const MIN_LOADS: usize = 20;
/// Loads from disk among them for each seed, on average, whatever is late.
const MIN_DISK_LOADS: usize = 5;

/// What happens beside late registrations.
#[derive(Debug, Clone, Copy, Default)]
struct Trouble {
    /// Share of the orders that have no answer and are carried out up to 12 s later, in percent.
    lost_percent: u32,
    leader_changes: bool,
}

/// Requests for models in turn that do not all fit on the disk of the instance.
fn run_with_delay(delay: u64, seed: u64, trouble: Trouble) -> Simulation {
    let mut simulation = Simulation::new(seed, 1, trouble.lost_percent);
    simulation.add_disks(DISK_SLOTS);
    simulation.delay_registrations(delay);
    for turn in 0..TURNS {
        if trouble.leader_changes && turn % TURNS_PER_LEADER == 1 {
            simulation.change_leader(configuration_with_disks(DISK_SLOTS as f64 * MODEL_MB));
        }
        let model = format!("m{}", 2 + simulation.draw(ROTATED_MODELS));
        for _ in 0..STEPS_PER_TURN {
            simulation.step(&[demand(&model, 1, 1, 500)]);
        }
    }
    simulation
}

#[test]
fn late_registrations_bring_no_evicted_weights_back() {
    for delay in REGISTRATION_DELAYS_MS {
        for seed in 0..SEEDS {
            let simulation = run_with_delay(delay, seed, Trouble::default());
            let uncounted = &simulation.uncounted_store_loads;
            assert_eq!(uncounted, &[], "{delay} ms late, seed {seed}");
            let loads = simulation.loads.len();
            assert!(
                loads >= MIN_LOADS,
                "{delay} ms late, seed {seed}: {loads} loads"
            );
        }
    }
}

#[test]
fn late_registrations_bring_no_evicted_weights_back_beside_other_trouble() {
    let troubles = [(30, false), (0, true), (30, true)];
    let troubles = troubles.map(|(lost_percent, leader_changes)| Trouble {
        lost_percent,
        leader_changes,
    });
    for delay in REGISTRATION_DELAYS_MS {
        for (seed, trouble) in (0..SEEDS).flat_map(|seed| troubles.map(|one| (seed, one))) {
            let simulation = run_with_delay(delay, seed, trouble);
            let uncounted = &simulation.uncounted_store_loads;
            assert_eq!(uncounted, &[], "{delay} ms late, seed {seed}, {trouble:?}");
        }
    }
}

/// Weights that are still cached are loaded from the disk, also while registrations are late.
#[test]
fn cached_weights_are_used_while_registrations_are_late() {
    for delay in REGISTRATION_DELAYS_MS {
        let runs = (0..SEEDS).map(|seed| run_with_delay(delay, seed, Trouble::default()));
        let from_disk = runs.map(|run| run.loads.len() - run.store_loads.len());
        let from_disk: usize = from_disk.sum();
        assert!(
            from_disk >= MIN_DISK_LOADS * SEEDS as usize,
            "{delay} ms late: {from_disk} loads from disk"
        );
    }
}
