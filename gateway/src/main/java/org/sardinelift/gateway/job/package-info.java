/** Batch jobs: their storage, their runs and their interface. */
@NullMarked
package org.sardinelift.gateway.job;

import org.jspecify.annotations.NullMarked;
