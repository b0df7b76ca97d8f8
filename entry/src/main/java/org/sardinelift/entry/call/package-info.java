/** Calls from an entry to targets, online and batch. */
@NullMarked
package org.sardinelift.entry.call;

import org.jspecify.annotations.NullMarked;
