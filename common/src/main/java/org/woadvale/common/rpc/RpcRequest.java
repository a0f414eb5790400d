package org.woadvale.common.rpc;

/** A request to a peer; its type says whether it may be sent again (docs/calls.md). */
public sealed interface RpcRequest permits RepeatableRequest, AtMostOnceRequest {}
