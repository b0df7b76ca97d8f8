/**
 * Batch jobs whose results are kept in numbered records. Only a worker that knows all earlier
 * records creates the next one, and a record never changes. So each item has one position and each
 * position one item, whichever workers run the job and however many.
 */
@NullMarked
package org.sardinelift.core.joblog;

import org.jspecify.annotations.NullMarked;
