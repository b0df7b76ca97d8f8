/** Batch jobs: state, claims and leases, scheduling and retries of items, results and removal. */
@NullMarked
package org.sardinelift.core.batch;

import org.jspecify.annotations.NullMarked;
