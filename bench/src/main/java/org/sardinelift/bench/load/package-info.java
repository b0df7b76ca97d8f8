/** Open-loop and closed-loop load, and its results. */
@NullMarked
package org.sardinelift.bench.load;

import org.jspecify.annotations.NullMarked;
