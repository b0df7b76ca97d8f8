/** Controllers of an entry's state: configuration, membership and limits. */
@NullMarked
package org.sardinelift.entry.control;

import org.jspecify.annotations.NullMarked;
