/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.transport;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.thrift.protocol.TProtocolException;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.Revision;
import org.larkkeel.peer.gen.WireLoad;
import org.larkkeel.peer.gen.WireMember;
import org.larkkeel.peer.gen.WireMessage;
import org.larkkeel.peer.membership.LoadRecord;
import org.larkkeel.peer.membership.Member;
import org.larkkeel.peer.membership.MemberState;
import org.larkkeel.peer.membership.Message;
import org.larkkeel.peer.membership.NodeAddress;
import org.larkkeel.peer.membership.NodeId;

/**
 * Converts membership messages to and from their Thrift form.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class WireMessages {
  private static final byte PING = 1;
  private static final byte PING_REQUEST = 2;
  private static final byte ACK = 3;
  private static final byte SYNC_REQUEST = 4;
  private static final byte SYNC_REPLY = 5;
  private static final MemberState[] STATES = MemberState.values();

  private WireMessages() {}

  static WireMessage toWire(Message message) {
    WireMessage wire = new WireMessage();
    writeHeader(wire, message.header());
    switch (message) {
      case Message.Ping ping -> {
        wire.setType(PING).setSequence(ping.sequence());
        writeTarget(wire, ping.target());
      }
      case Message.PingRequest request -> {
        wire.setType(PING_REQUEST).setSequence(request.sequence());
        writeTarget(wire, request.target());
        wire.setTargetIp(request.address().ip()).setTargetPort(request.address().port());
      }
      case Message.Ack ack -> {
        wire.setType(ACK).setSequence(ack.sequence());
        writeTarget(wire, ack.target());
      }
      case Message.SyncRequest request -> {
        wire.setType(SYNC_REQUEST).setDigest(request.digest());
        request.after().ifPresent(host -> wire.setAfter(host.value()));
      }
      case Message.SyncReply reply ->
          wire.setType(SYNC_REPLY).setDigest(reply.digest()).setMore(reply.more());
    }
    return wire;
  }

  private static void writeHeader(WireMessage wire, Message.Header header) {
    wire.setSender(header.sender().host().value());
    wire.setIncarnation(header.sender().incarnation().value());
    wire.setRevision(header.revision().value());
    for (Member member : header.members()) {
      wire.addToMembers(writeMember(member));
    }
    for (LoadRecord load : header.load()) {
      wire.addToLoad(new WireLoad(load.key(), load.version(), ByteBuffer.wrap(load.value())));
    }
  }

  private static void writeTarget(WireMessage wire, NodeId target) {
    wire.setTarget(target.host().value());
    wire.setTargetIncarnation(target.incarnation().value());
  }

  private static WireMember writeMember(Member member) {
    return new WireMember(
        member.id().host().value(),
        member.id().incarnation().value(),
        member.refutation(),
        (byte) member.state().ordinal(),
        member.leaving(),
        ByteBuffer.wrap(member.address().ip()),
        member.address().port(),
        member.dataCentre().value());
  }

  /**
   * Converts a message from its Thrift form.
   *
   * @throws TProtocolException if the type or a member state is unknown
   * @throws RuntimeException if another field is missing or out of range
   */
  static Message fromWire(WireMessage wire) throws TProtocolException {
    Message.Header header = readHeader(wire);
    return switch (wire.getType()) {
      case PING -> new Message.Ping(header, wire.getSequence(), readTarget(wire));
      case PING_REQUEST ->
          new Message.PingRequest(
              header,
              wire.getSequence(),
              readTarget(wire),
              NodeAddress.of(wire.getTargetIp(), wire.getTargetPort()));
      case ACK -> new Message.Ack(header, wire.getSequence(), readTarget(wire));
      case SYNC_REQUEST ->
          new Message.SyncRequest(
              header, wire.getDigest(), Optional.ofNullable(wire.getAfter()).map(HostName::new));
      case SYNC_REPLY -> new Message.SyncReply(header, wire.getDigest(), wire.isMore());
      default ->
          throw new TProtocolException(
              TProtocolException.INVALID_DATA, "type is " + wire.getType() + ": use 1 to 5");
    };
  }

  private static Message.Header readHeader(WireMessage wire) throws TProtocolException {
    List<Member> members = new ArrayList<>(wire.getMembersSize());
    if (wire.isSetMembers()) {
      for (WireMember member : wire.getMembers()) {
        members.add(readMember(member));
      }
    }
    List<LoadRecord> load = new ArrayList<>(wire.getLoadSize());
    if (wire.isSetLoad()) {
      for (WireLoad record : wire.getLoad()) {
        load.add(new LoadRecord(record.getKey(), record.getVersion(), record.getValue()));
      }
    }
    NodeId sender = nodeId(wire.getSender(), wire.getIncarnation());
    return new Message.Header(sender, new Revision(wire.getRevision()), members, load);
  }

  private static NodeId readTarget(WireMessage wire) {
    return nodeId(wire.getTarget(), wire.getTargetIncarnation());
  }

  private static Member readMember(WireMember wire) throws TProtocolException {
    if (wire.getState() < 0 || wire.getState() >= STATES.length) {
      throw new TProtocolException(
          TProtocolException.INVALID_DATA,
          "state is " + wire.getState() + ": use 0 to " + (STATES.length - 1));
    }
    return new Member(
        nodeId(wire.getHost(), wire.getIncarnation()),
        wire.getRefutation(),
        STATES[wire.getState()],
        wire.isLeaving(),
        NodeAddress.of(wire.getIp(), wire.getPort()),
        new DataCentreName(wire.getDataCentre()));
  }

  private static NodeId nodeId(String host, long incarnation) {
    return new NodeId(new HostName(host), new Incarnation(incarnation));
  }
}
