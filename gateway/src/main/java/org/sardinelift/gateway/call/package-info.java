/** Calls from their arrival to their end. */
@NullMarked
package org.sardinelift.gateway.call;

import org.jspecify.annotations.NullMarked;
