/** Framed Thrift protocol between the processes of the system. */
@NullMarked
package org.sardinelift.protocol;

import org.jspecify.annotations.NullMarked;
