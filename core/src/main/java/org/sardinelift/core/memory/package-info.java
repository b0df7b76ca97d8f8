/** Limits on the memory of targets and of this process. */
@NullMarked
package org.sardinelift.core.memory;

import org.jspecify.annotations.NullMarked;
