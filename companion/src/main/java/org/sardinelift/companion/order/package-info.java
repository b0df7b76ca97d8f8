/** Orders to the target, checked against their fencing numbers. */
@NullMarked
package org.sardinelift.companion.order;

import org.jspecify.annotations.NullMarked;
