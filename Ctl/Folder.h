/// \file
/// Reads the declarations in a folder.
#ifndef WASABI_CTL_FOLDER_H
#define WASABI_CTL_FOLDER_H

#include "Wasabi/Config/Configuration.h"

#include <string>

namespace wasabi::ctl {

/// Returns the objects in all `*.json` files below `Folder`. Errors: `BadInput`
/// with the place `file: /json/path`, also for an object that is declared
/// twice.
Result<ObjectTexts> readFolder(const std::string &Folder);

} // namespace wasabi::ctl

#endif // WASABI_CTL_FOLDER_H
