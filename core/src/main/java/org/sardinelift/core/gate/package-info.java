/**
 * Decides which calls run on a target: online calls at once, batch calls on the remaining slots.
 */
@NullMarked
package org.sardinelift.core.gate;

import org.jspecify.annotations.NullMarked;
