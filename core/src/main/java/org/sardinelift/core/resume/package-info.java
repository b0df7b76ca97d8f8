/** Streams that are resumed at the software version that began them. */
@NullMarked
package org.sardinelift.core.resume;

import org.jspecify.annotations.NullMarked;
