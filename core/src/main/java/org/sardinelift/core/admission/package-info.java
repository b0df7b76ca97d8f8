/** Fair admission of calls while the targets of a service are short. */
@NullMarked
package org.sardinelift.core.admission;

import org.jspecify.annotations.NullMarked;
