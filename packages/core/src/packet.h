/**
 * DOC: Parsing of the IP packet that IP-in-UDP carries.
 */
#ifndef MV_CORE_PACKET_H
#define MV_CORE_PACKET_H

#include "masticvane/core.h"

/**
 * struct mv_packet - Packet fields that steering reads.
 * @source: caller's address, host byte order
 * @destination: service's address, host byte order
 * @source_port: caller's port
 * @destination_port: service's port
 * @is_syn: SYN, the first packet of a flow
 * @is_close: FIN or RST
 */
typedef struct mv_packet {
    uint32_t source;
    uint32_t destination;
    uint16_t source_port;
    uint16_t destination_port;
    bool is_syn;
    bool is_close;
} mv_packet_t;

/**
 * MvPacket_Parse() - Parse an IPv4 packet that carries TCP.
 *
 * @data: the packet; may be unaligned
 * @length: bytes in @data
 * @packet: its fields, written on success
 * @reason: counter to increment, valid on failure
 *
 * Return: true on success; false when the packet is malformed, a fragment or
 * not TCP.
 */
bool MvPacket_Parse(const uint8_t *data, size_t length, mv_packet_t *packet,
                    mv_counter_id_t *reason);

#endif
