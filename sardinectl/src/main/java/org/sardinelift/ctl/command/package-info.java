/** Commands, one class each. */
@NullMarked
package org.sardinelift.ctl.command;

import org.jspecify.annotations.NullMarked;
