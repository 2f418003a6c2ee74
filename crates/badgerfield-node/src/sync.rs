//! Locking of the tables outside the core.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a table, also if a thread panicked while holding the lock: every step leaves the table
/// consistent.
pub fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
