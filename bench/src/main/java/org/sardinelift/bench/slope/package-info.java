/** Growth of state, time and message sizes with the size of the fleet. */
@NullMarked
package org.sardinelift.bench.slope;

import org.jspecify.annotations.NullMarked;
