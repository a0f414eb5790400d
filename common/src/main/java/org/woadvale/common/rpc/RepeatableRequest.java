package org.woadvale.common.rpc;

/**
 * A request that may be sent again while the outcome of an earlier sending is unknown: it only reads, or sets a state
 * that a second sending sets to the same, or the receiver recognises the second sending and gives the first answer.
 */
public non-sealed interface RepeatableRequest extends RpcRequest {}
