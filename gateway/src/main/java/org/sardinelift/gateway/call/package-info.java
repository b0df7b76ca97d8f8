/** Admission and forwarding of calls: online calls to targets, batch job calls to workers. */
@NullMarked
package org.sardinelift.gateway.call;

import org.jspecify.annotations.NullMarked;
