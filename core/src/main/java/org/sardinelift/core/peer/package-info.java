/** The other instances, as their reports show them. */
@NullMarked
package org.sardinelift.core.peer;

import org.jspecify.annotations.NullMarked;
