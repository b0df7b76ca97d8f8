/** Orders to targets: the controller's lease, and the planning of roll-outs. */
@NullMarked
package org.sardinelift.core.order;

import org.jspecify.annotations.NullMarked;
