/** Membership of the fleet and heartbeats on its connections. */
@NullMarked
package org.sardinelift.core.fleet;

import org.jspecify.annotations.NullMarked;
