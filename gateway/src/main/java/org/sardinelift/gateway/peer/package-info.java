/** Reports between instances and what they carry. */
@NullMarked
package org.sardinelift.gateway.peer;

import org.jspecify.annotations.NullMarked;
