/** Routing: the choice of the target of a call. */
@NullMarked
package org.sardinelift.core.route;

import org.jspecify.annotations.NullMarked;
