//! A lock that outlives a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Takes a lock, also after a panic elsewhere: what it guards is changed in single steps, so it is
/// whole at all times.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
