/** The process of the entry role: its settings and the setup of its components. */
@NullMarked
package org.sardinelift.entry;

import org.jspecify.annotations.NullMarked;
