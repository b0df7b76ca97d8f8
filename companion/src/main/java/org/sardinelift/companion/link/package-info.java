/** Connections from entries. */
@NullMarked
package org.sardinelift.companion.link;

import org.jspecify.annotations.NullMarked;
