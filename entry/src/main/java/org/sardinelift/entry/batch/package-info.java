/** Batch jobs on an entry: acceptance, claims, runs, results and the callers' routes. */
@NullMarked
package org.sardinelift.entry.batch;

import org.jspecify.annotations.NullMarked;
