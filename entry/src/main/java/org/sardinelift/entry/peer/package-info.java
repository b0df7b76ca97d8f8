/** Connections between entries. */
@NullMarked
package org.sardinelift.entry.peer;

import org.jspecify.annotations.NullMarked;
