// Writes a whole text file.
#ifndef MANGOCART_COMMAND_TEXTFILE_H
#define MANGOCART_COMMAND_TEXTFILE_H

#include <string>

namespace mangocart {

// Replaces the file. Returns what went wrong, with the file's name; empty when
// all was written.
std::string writeTextFile(const std::string &File, const std::string &Text);

} // namespace mangocart

#endif
