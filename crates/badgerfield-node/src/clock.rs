//! The time of the process, and the clocks of its VM that it is read from.

use std::fmt::Debug;
use std::time::Duration;

use badgerfield_core::amount::Time;
use nix::time::{ClockId, clock_gettime};

/// The clocks of a VM, each as the span since some moment of its own.
pub trait VmClocks: Debug + Send + Sync {
    /// Reads the clock that goes on while the VM is suspended.
    fn since_boot(&self) -> Duration;

    /// Reads the clock that timers go by. It stands still while the VM is suspended.
    fn awake(&self) -> Duration;
}

/// The clocks of the system that the process runs on.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClocks;

impl VmClocks for SystemClocks {
    fn since_boot(&self) -> Duration {
        read(ClockId::CLOCK_BOOTTIME)
    }

    fn awake(&self) -> Duration {
        read(ClockId::CLOCK_MONOTONIC)
    }
}

/// Reads a clock of the system; both that are read here stand in every Linux kernel that the
/// runtime works on.
fn read(clock: ClockId) -> Duration {
    clock_gettime(clock).map(Duration::from).unwrap_or_default()
}

/// Tells the time of the process.
#[derive(Debug)]
pub(crate) struct Clock {
    vm: Box<dyn VmClocks>,
    started: Duration,
}

impl Clock {
    pub(crate) fn new(vm: Box<dyn VmClocks>) -> Self {
        let started = vm.awake();
        Self { vm, started }
    }

    /// Returns the present time.
    pub(crate) fn now(&self) -> Time {
        Time(self.vm.awake().saturating_sub(self.started))
    }
}
