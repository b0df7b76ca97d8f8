/** The other instances (peers), as known from their reports. */
@NullMarked
package org.sardinelift.core.peer;

import org.jspecify.annotations.NullMarked;
