/** Structured logging to standard output, with a limited rate and without blocking callers. */
@NullMarked
package org.sardinelift.runtime.log;

import org.jspecify.annotations.NullMarked;
