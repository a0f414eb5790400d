/**
 * What can go wrong with a request, as types over the one table of {@link org.woadvale.common.error.ErrorKind kinds}. A
 * {@link org.woadvale.common.error.RejectedException} is the request's own fault; a {@link
 * org.woadvale.common.error.RetriableException} was not executed and may succeed later; after an {@link
 * org.woadvale.common.error.OutcomeUnknownException} only asking again with the same id tells what happened.
 */
package org.woadvale.common.error;
