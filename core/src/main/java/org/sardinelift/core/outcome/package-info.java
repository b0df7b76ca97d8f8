/** Outcomes of calls: whether a call was run, the problem reported to its caller, and retries. */
@NullMarked
package org.sardinelift.core.outcome;

import org.jspecify.annotations.NullMarked;
