/** Calls in progress at the target and their responses. */
@NullMarked
package org.sardinelift.companion.call;

import org.jspecify.annotations.NullMarked;
