/** Event streams sent by targets. */
@NullMarked
package org.sardinelift.core.stream;

import org.jspecify.annotations.NullMarked;
