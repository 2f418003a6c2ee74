//! Locking of the tables outside the core.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a table. The lock is taken even if a thread has panicked while holding it, since every
/// step leaves the table consistent.
pub fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
