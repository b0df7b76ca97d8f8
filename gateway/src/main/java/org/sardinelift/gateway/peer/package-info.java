/** Exchange of state between instances by UDP reports. */
@NullMarked
package org.sardinelift.gateway.peer;

import org.jspecify.annotations.NullMarked;
