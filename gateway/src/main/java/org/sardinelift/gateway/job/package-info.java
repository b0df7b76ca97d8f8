/** Batch jobs: storage, execution and HTTP interfaces. */
@NullMarked
package org.sardinelift.gateway.job;

import org.jspecify.annotations.NullMarked;
