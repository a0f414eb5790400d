/** Requests between nodes: frames over TCP, their encoding, and which request may be sent again. */
package org.woadvale.common.rpc;
