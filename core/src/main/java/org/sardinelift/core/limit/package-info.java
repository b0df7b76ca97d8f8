/** Limits of each team's rate and burst over all instances together. */
@NullMarked
package org.sardinelift.core.limit;

import org.jspecify.annotations.NullMarked;
