/** The binary for operators and callers. */
@NullMarked
package org.sardinelift.ctl;

import org.jspecify.annotations.NullMarked;
