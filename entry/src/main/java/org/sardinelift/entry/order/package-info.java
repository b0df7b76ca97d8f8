/** The controller of roll-outs: the one entry that owns the lease sends the orders. */
@NullMarked
package org.sardinelift.entry.order;

import org.jspecify.annotations.NullMarked;
