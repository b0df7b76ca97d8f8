/** Outcome of each attempt, kept until its entry has the complete response. */
@NullMarked
package org.sardinelift.companion.outcome;

import org.jspecify.annotations.NullMarked;
