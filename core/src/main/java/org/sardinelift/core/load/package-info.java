/** Load and health of the targets, and the choice of a target by them. */
@NullMarked
package org.sardinelift.core.load;

import org.jspecify.annotations.NullMarked;
